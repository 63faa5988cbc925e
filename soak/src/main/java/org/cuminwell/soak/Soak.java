package org.cuminwell.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/** Runs the system under the load and the faults of one seed. Immutable and thread safe. */
record Soak(Path checkout, Path jar, Path folder, Size size) {

  private static final int ENGINES_PER_REGION = 2;
  private static final Duration LOAD_BEFORE_FAULTS = Duration.ofSeconds(3);

  /**
   * Says how large a run is.
   *
   * @param pause the mean time between a response and the caller's next request
   */
  record Size(int gateways, int callers, Duration pause, Duration duration) {}

  /** Runs one seed and returns how the rules were kept. */
  List<RuleResult> run(long seed) throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    FaultPlan plan = FaultPlan.draw(seed, size.duration(), size.gateways());
    History history = new History();
    InstantSource time = steadyTime();
    Path runFolder = Files.createDirectories(folder.resolve("seed-" + seed));
    List<Endpoint> endpoints = new ArrayList<>();
    try (Deployment deployment =
        new Deployment(
            checkout, jar, runFolder, size.gateways(), new SplittableRandom(), time, history)) {
      Thread cleaner = new Thread(deployment::close);
      Runtime.getRuntime().addShutdownHook(cleaner);
      endpoints.addAll(startEndpoints(deployment, random, time, history));
      deployment.start();
      load(deployment, endpoints, plan, random, time, history);
      Runtime.getRuntime().removeShutdownHook(cleaner);
    } finally {
      for (Endpoint endpoint : endpoints) {
        endpoint.close();
      }
    }
    return Rules.check(history);
  }

  private void load(
      Deployment deployment,
      List<Endpoint> endpoints,
      FaultPlan plan,
      SplittableRandom random,
      InstantSource time,
      History history)
      throws InterruptedException {
    Map<String, String> names =
        deployment.gateways().stream()
            .collect(
                Collectors.toMap(deployment::frontAddress, gateway -> gateway.process().name()));
    List<Caller> callers = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < size.callers(); i++) {
      Caller caller = new Caller(i, deployment, names, size.pause(), random.split(), time, history);
      callers.add(caller);
      threads.add(Thread.ofVirtual().start(caller));
    }
    Thread.sleep(LOAD_BEFORE_FAULTS);
    new FaultRunner(deployment, endpoints, time, history).run(plan);
    callers.forEach(Caller::stop);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static List<Endpoint> startEndpoints(
      Deployment deployment, SplittableRandom random, InstantSource time, History history)
      throws IOException {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int region = 0; region < Deployment.REGIONS; region++) {
      for (int i = 0; i <= ENGINES_PER_REGION; i++) {
        int number = endpoints.size();
        String service = i < ENGINES_PER_REGION ? "engine" : "desk";
        endpoints.add(
            new Endpoint(
                "i-" + service + "-" + number,
                deployment.endpointAddress(number),
                service,
                region,
                deployment.controlAddresses(),
                random.split(),
                time,
                history));
      }
    }
    endpoints.forEach(Endpoint::start);
    return endpoints;
  }

  /** Returns a clock that no step of the time of day moves. */
  private static InstantSource steadyTime() {
    Instant start = Instant.now();
    long startNanos = System.nanoTime();
    return () -> start.plusNanos(System.nanoTime() - startNanos);
  }
}
