package org.cuminwell.shell.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Failure;

/**
 * Counts requests by customer, route and version.
 *
 * <p>Each label has its own family of histograms, so that memory grows with the sum of customers,
 * routes and versions and not with their product. Thread safe.
 */
public final class Telemetry {

  /** How many samples a histogram keeps; bounds its memory to about 2 kB. */
  private static final int SAMPLES = 256;

  private final MetricRegistry registry = new MetricRegistry();

  /** Counts a request that has ended. */
  public void record(CallRecord call) {
    call.customer().ifPresent(id -> record(call, "customer", id.value()));
    call.route().ifPresent(id -> record(call, "route", id.value()));
    call.version().ifPresent(id -> record(call, "version", id.value()));
  }

  /** Adds to a counter without labels. */
  public void count(String name, long added) {
    registry.counter(new MetricName(name, "", "").encoded()).inc(added);
  }

  /** Shows a value that is read when the metrics are printed. */
  public void gauge(String name, LongSupplier value) {
    registry.gauge(name, () -> value::getAsLong);
  }

  /** Returns everything in the text format of Prometheus. */
  public String prometheusText() {
    return PrometheusText.of(registry);
  }

  private void record(CallRecord call, String label, String value) {
    String outcome = call.failure().map(failure -> failure.code().label()).orElse("answered");
    registry
        .counter(new MetricName("requests_by_" + label, label, value).with("outcome", outcome))
        .inc();
    registry
        .counter(new MetricName("tokens_by_" + label, label, value).encoded())
        .inc(call.usage().total());
    Optional<Failure> failure = call.failure();
    if (failure.isEmpty()) {
      call.timeToFirstByte()
          .ifPresent(
              wait ->
                  histogram(new MetricName("first_byte_ms_by_" + label, label, value))
                      .update(wait.toMillis()));
      histogram(new MetricName("duration_ms_by_" + label, label, value))
          .update(call.duration().toMillis());
    }
  }

  private Histogram histogram(MetricName name) {
    return registry.histogram(name.encoded(), () -> new Histogram(new UniformReservoir(SAMPLES)));
  }
}
