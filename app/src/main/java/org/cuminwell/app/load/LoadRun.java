package org.cuminwell.app.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * Sends the requests of a plan when they are due, whether or not earlier ones have been answered.
 *
 * <p>Times count from the moment a request was due, so a stalled system can't hide its delay. Not
 * thread safe; used once.
 */
public final class LoadRun {

  private static final Duration TIMEOUT = Duration.ofMinutes(2);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int OK = 200;
  private static final int BYTES_PER_TOKEN = 4;

  private final LoadPlan plan;
  private final SplittableRandom random;
  private final Map<String, CustomerTally> tallies = new TreeMap<>();
  private final List<String> names;
  private final String body;

  private LoadRun(LoadPlan plan) {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed());
    this.names = plan.keys().keySet().stream().sorted().toList();
    this.body = body(plan);
    names.forEach(name -> tallies.put(name, new CustomerTally()));
  }

  /** Returns a run of the plan that has not begun. */
  public static LoadRun of(LoadPlan plan) {
    return new LoadRun(plan);
  }

  /** Sends everything, waits for the last answer and returns the outcome. */
  public LoadTable run() throws InterruptedException {
    // Resources close in reverse: the workers end their requests before the client goes.
    try (HttpClient client = client();
        ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor()) {
      long start = System.nanoTime();
      long end = start + plan.length().toNanos();
      long due = start + nextGap();
      for (int count = 0; due < end; count++) {
        waitUntil(due);
        String customer = names.get(random.nextInt(names.size()));
        String entry = plan.entries().get(count % plan.entries().size());
        long dueAt = due;
        workers.execute(() -> send(client, customer, entry, dueAt));
        due += nextGap();
      }
    }
    return new LoadTable(tallies);
  }

  private static HttpClient client() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT)
        .build();
  }

  /** Returns the time to the next request of a Poisson process, in nanoseconds. */
  private long nextGap() {
    return (long) (-Math.log1p(-random.nextDouble()) / plan.rate() * NANOS_PER_SECOND);
  }

  private static void waitUntil(long due) {
    long left = due - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = due - System.nanoTime();
    }
  }

  private void send(HttpClient client, String customer, String entry, long due) {
    CustomerTally tally = tallies.get(customer);
    if (tally == null) {
      return;
    }
    tally.sent.increment();
    try {
      HttpResponse<Stream<String>> answer =
          client.send(request(customer, entry), HttpResponse.BodyHandlers.ofLines());
      read(answer, tally, due);
    } catch (IOException | java.io.UncheckedIOException e) {
      tally.broken.increment();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(HttpResponse<Stream<String>> answer, CustomerTally tally, long due) {
    if (answer.statusCode() != OK) {
      answer.body().close();
      tally.refused.increment();
      return;
    }
    boolean whole = !isStream();
    try (Stream<String> lines = answer.body()) {
      Iterator<String> each = lines.iterator();
      boolean first = true;
      while (each.hasNext()) {
        String line = each.next();
        if (first) {
          CustomerTally.record(tally.firstToken, System.nanoTime() - due);
          first = false;
        }
        whole = whole || line.equals("data: [DONE]");
      }
    }
    if (whole) {
      CustomerTally.record(tally.end, System.nanoTime() - due);
      tally.whole.increment();
    } else {
      tally.broken.increment();
    }
  }

  private HttpRequest request(String customer, String entry) {
    String path = plan.model().isEmpty() ? "/r/" + plan.route() + "/load" : "/v1/chat/completions";
    return HttpRequest.newBuilder(URI.create("http://" + entry + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + plan.keys().get(customer))
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private boolean isStream() {
    return plan.stream() && !plan.model().isEmpty();
  }

  private static String body(LoadPlan plan) {
    if (plan.model().isEmpty()) {
      return "{}";
    }
    String prompt = "word".repeat(Math.max(1, plan.promptTokens() * BYTES_PER_TOKEN / 4));
    return """
        {"model":"%s","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}"""
        .formatted(plan.model(), plan.stream(), plan.maxTokens(), prompt);
  }
}
