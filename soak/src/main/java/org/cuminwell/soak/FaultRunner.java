package org.cuminwell.soak;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Carries out a plan, each fault on a thread of its own, so that they overlap. Not thread safe: one
 * thread runs it.
 */
final class FaultRunner {

  private final Deployment deployment;
  private final List<Endpoint> endpoints;
  private final InstantSource time;
  private final History history;
  private final List<Thread> running = new ArrayList<>();

  FaultRunner(
      Deployment deployment, List<Endpoint> endpoints, InstantSource time, History history) {
    this.deployment = deployment;
    this.endpoints = endpoints;
    this.time = time;
    this.history = history;
  }

  /** Carries out the plan, and returns once its last fault is over. */
  void run(FaultPlan plan) throws InterruptedException {
    Instant start = time.instant();
    for (FaultPlan.Step step : plan.steps()) {
      Duration wait = Duration.between(time.instant(), start.plus(step.at()));
      if (wait.isPositive()) {
        Thread.sleep(wait);
      }
      running.add(Thread.ofVirtual().start(() -> carryOut(step.fault())));
    }
    for (Thread thread : running) {
      thread.join();
    }
  }

  private void carryOut(Fault fault) {
    try {
      switch (fault) {
        case Fault.StopGateway f -> stop(process(f.gateway()), f.restartAfter());
        case Fault.HangUpGateway f -> process(f.gateway()).signal("HUP");
        case Fault.TroubleEndpoints f -> trouble(f);
      }
    } catch (IOException e) {
      throw new IllegalStateException("can't carry out " + fault, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private SystemProcess process(int gateway) {
    return deployment.gateways().get(gateway).process();
  }

  private void stop(SystemProcess gateway, Duration restartAfter)
      throws IOException, InterruptedException {
    if (!gateway.tryBeginStop()) {
      return;
    }
    try {
      gateway.signal("TERM");
      if (!gateway.awaitEnd(Bounds.GRACE)) {
        gateway.signal("KILL");
        gateway.awaitEnd(Bounds.GRACE);
      }
      Thread.sleep(restartAfter);
      gateway.start();
    } finally {
      gateway.endStop();
    }
  }

  private void trouble(Fault.TroubleEndpoints fault) throws InterruptedException {
    Instant start = time.instant();
    endpoints.forEach(endpoint -> endpoint.setTrouble(fault.trouble()));
    Thread.sleep(fault.lasts());
    endpoints.forEach(endpoint -> endpoint.setTrouble(Endpoint.Trouble.NONE));
    history.add(new History.Disruption(start, time.instant()));
  }
}
