package org.cuminwell.app;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Prints each change of the system's state. */
@Parameters(commandDescription = "Print the state of the system whenever it changes")
final class WatchCommand implements Command {

  @ParametersDelegate private final OperatorFlags operators = new OperatorFlags();

  @Override
  public int run() throws SettingException, InterruptedException {
    return operators.client().follow("/v1/events");
  }
}
