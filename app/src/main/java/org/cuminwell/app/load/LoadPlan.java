package org.cuminwell.app.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * States a load to send. Immutable and thread safe.
 *
 * @param entries the entry hosts, used in turn
 * @param keys the key of each customer
 * @param model the model to ask, or empty for plain calls
 * @param route the plain route to call, or empty for completions
 * @param rate requests a second, all customers together
 * @param seed fixes the arrival times and the order of customers
 */
public record LoadPlan(
    List<String> entries,
    Map<String, String> keys,
    String model,
    String route,
    double rate,
    Duration length,
    int maxTokens,
    int promptTokens,
    boolean stream,
    long seed) {

  /** Copies the collections. */
  public LoadPlan {
    entries = List.copyOf(entries);
    keys = Map.copyOf(keys);
  }
}
