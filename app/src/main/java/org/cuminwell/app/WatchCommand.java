package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Prints each change of the system's state. */
@Parameters(commandDescription = "Print the state of the system whenever it changes")
final class WatchCommand implements Command {

  @Parameter(names = "--operators", description = "HOST:PORT of each control host for operators")
  private List<String> operators = new ArrayList<>(List.of("127.0.0.1:8400"));

  @Override
  public int run() throws InterruptedException {
    return new OperatorClient(operators).follow("/v1/events");
  }
}
