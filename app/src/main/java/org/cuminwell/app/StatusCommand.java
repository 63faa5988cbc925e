package org.cuminwell.app;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Prints the state of the system once. */
@Parameters(commandDescription = "Print the state of the system")
final class StatusCommand implements Command {

  @ParametersDelegate private final OperatorFlags operators = new OperatorFlags();

  @Override
  public int run() throws SettingException, InterruptedException {
    return operators.client().get("/v1/status");
  }
}
