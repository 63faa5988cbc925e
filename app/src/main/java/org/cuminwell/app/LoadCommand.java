package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.app.load.LoadPlan;
import org.cuminwell.app.load.LoadRun;
import org.cuminwell.app.load.LoadTable;

/** Sends an open-loop load and prints what came of it. */
@Parameters(commandDescription = "Send requests at a set rate and print a table by customer")
final class LoadCommand implements Command {

  @Parameter(names = "--entry", required = true, description = "HOST:PORT to send to, in turn")
  private List<String> entry = new ArrayList<>();

  @Parameter(names = "--customer", required = true, description = "NAME=KEY, once a customer")
  private List<String> customers = new ArrayList<>();

  @Parameter(names = "--model", description = "model to ask; none for plain calls")
  private String model = "";

  @Parameter(names = "--route", description = "plain route to POST to, where no model is named")
  private String route = "";

  @Parameter(names = "--rate", description = "requests a second, all customers together")
  private double rate = 10;

  @Parameter(names = "--seconds", description = "how long to send, in seconds")
  private int seconds = 10;

  @Parameter(names = "--max-tokens", description = "tokens to ask for in each completion")
  private int maxTokens = 16;

  @Parameter(names = "--prompt-tokens", description = "rough length of each prompt, in tokens")
  private int promptTokens = 16;

  @Parameter(names = "--stream", arity = 1, description = "whether to ask for streamed answers")
  private boolean stream = true;

  @Parameter(names = "--seed", description = "seed of the arrival times")
  private long seed = 1;

  @Parameter(
      names = "--max-failed",
      description = "exit with 1 if more than this many requests got no whole answer")
  private long maxFailed = Long.MAX_VALUE;

  @Override
  public int run() throws SettingException, InterruptedException {
    LoadTable table = LoadRun.of(plan()).run();
    System.out.print(table.text());
    return table.failed() > maxFailed ? FAILED : OK;
  }

  private LoadPlan plan() throws SettingException {
    if (model.isEmpty() == route.isEmpty()) {
      throw new SettingException("--model", "name either --model or --route");
    }
    if (!(rate > 0) || seconds < 1) {
      throw new SettingException("--rate", "rate and seconds must be above 0");
    }
    return new LoadPlan(
        entry,
        keys(),
        model,
        route,
        rate,
        Duration.ofSeconds(seconds),
        maxTokens,
        promptTokens,
        stream,
        seed);
  }

  private Map<String, String> keys() throws SettingException {
    Map<String, String> keys = new LinkedHashMap<>();
    for (String customer : customers) {
      int equals = customer.indexOf('=');
      if (equals < 1) {
        throw new SettingException("--customer", "must be NAME=KEY");
      }
      keys.put(customer.substring(0, equals), customer.substring(equals + 1));
    }
    return keys;
  }
}
