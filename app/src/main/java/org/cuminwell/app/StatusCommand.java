package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Prints the state of the system once. */
@Parameters(commandDescription = "Print the state of the system")
final class StatusCommand implements Command {

  @Parameter(names = "--operators", description = "HOST:PORT of each control host for operators")
  private List<String> operators = new ArrayList<>(List.of("127.0.0.1:8400"));

  @Override
  public int run() throws InterruptedException {
    return new OperatorClient(operators).get("/v1/status");
  }
}
