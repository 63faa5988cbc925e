package org.cuminwell.shell.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Verdict;

/**
 * Collects the metrics of the process: requests by customer, route and version, and any further
 * counters and gauges.
 *
 * <p>Each of these labels has its own family of metrics, so that memory grows with the sum of the
 * customers, routes and versions and not with their product. Thread safe.
 */
public final class Telemetry {

  /** The gauge of refusals, by cause; all of these requests have certainly not run. */
  private static final String REFUSED_LAST_MINUTE = "refused_last_minute";

  /** Samples that a histogram keeps, which limits its memory to about 2 kB. */
  private static final int HISTOGRAM_SAMPLES = 256;

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<ErrorCode, SlidingMinute> refusals = new ConcurrentHashMap<>();
  private final InstantSource time;

  /** Creates metrics without any values; {@code time} dates the events that count for a minute. */
  public Telemetry(InstantSource time) {
    this.time = time;
  }

  /**
   * Records a request that has ended: its outcome and tokens, and its durations if it succeeded.
   *
   * <p>Without a customer, route or version nothing is recorded under that label.
   */
  public void record(CallRecord call) {
    call.customer().ifPresent(id -> record(call, "customer", id.value()));
    call.route().ifPresent(id -> record(call, "route", id.value()));
    call.version().ifPresent(id -> record(call, "version", id.value()));
    call.failure()
        .filter(failure -> failure.verdict() instanceof Verdict.NotRun)
        .ifPresent(failure -> recordRefusal(failure.code()));
  }

  /** Adds {@code amount} to the counter, which has no labels and starts at zero. */
  public void count(String name, long amount) {
    registry.counter(new MetricName(name, "", "").encoded()).inc(amount);
  }

  /** Adds 1 to the counter of a label's value; the values must be few. */
  public void count(String name, String label, String value) {
    registry.counter(new MetricName(name, label, value).encoded()).inc();
  }

  /** Registers a gauge whose value is read whenever the metrics are printed. */
  public void gauge(String name, LongSupplier value) {
    registry.gauge(name, () -> value::getAsLong);
  }

  /** Returns all metrics in the text format of Prometheus. */
  public String prometheusText() {
    return PrometheusText.of(registry);
  }

  private void recordRefusal(ErrorCode code) {
    refusals.computeIfAbsent(code, this::newRefusals).record(time.instant());
  }

  private SlidingMinute newRefusals(ErrorCode code) {
    SlidingMinute minute = new SlidingMinute();
    gauge(
        new MetricName(REFUSED_LAST_MINUTE, "cause", code.label()).encoded(),
        () -> minute.count(time.instant()));
    return minute;
  }

  private void record(CallRecord call, String label, String value) {
    String outcome = call.failure().map(failure -> failure.code().label()).orElse("answered");
    registry
        .counter(
            new MetricName("requests_by_" + label, label, value).encodedWith("outcome", outcome))
        .inc();
    registry
        .counter(new MetricName("tokens_by_" + label, label, value).encoded())
        .inc(call.usage().total());
    Optional<Failure> failure = call.failure();
    if (failure.isEmpty()) {
      call.timeToFirstByte()
          .ifPresent(
              timeToFirstByte ->
                  histogram(new MetricName("first_byte_ms_by_" + label, label, value))
                      .update(timeToFirstByte.toMillis()));
      histogram(new MetricName("duration_ms_by_" + label, label, value))
          .update(call.duration().toMillis());
    }
  }

  private Histogram histogram(MetricName name) {
    return registry.histogram(
        name.encoded(), () -> new Histogram(new UniformReservoir(HISTOGRAM_SAMPLES)));
  }
}
