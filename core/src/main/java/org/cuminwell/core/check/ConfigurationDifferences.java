package org.cuminwell.core.check;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;

/**
 * Compares the customers, forwarded routes, services and caller limits of two configurations.
 *
 * <p>A gateway looks up route and customer when a request arrives and keeps both until it ends, so
 * changes of these never reach running requests. Services are looked up for each attempt.
 * Evacuations and rollouts are not part of documents and are not compared. Stateless and thread
 * safe.
 */
public final class ConfigurationDifferences {

  private static final String KEEPS = "requests that run keep the values they started with";

  private ConfigurationDifferences() {}

  /** Returns the differences by customer, route, service and limits, each in order of names. */
  public static List<Difference> between(Configuration inForce, Configuration next) {
    ConfigurationChange change = inForce.changeTo(next);
    List<Difference> differences = new ArrayList<>();
    collect(
        inForce.customers(),
        change.customers(),
        Subject.OfCustomer::new,
        ConfigurationDifferences::fieldsOf,
        "requests that run end as they are; new ones with its keys are refused",
        differences);
    collect(
        inForce.forwarding().routes(),
        change.forwarding().routes(),
        Subject.OfRoute::new,
        ConfigurationDifferences::fieldsOf,
        "requests that run end as they are; new ones find no such route, or a shorter one",
        differences);
    collect(
        inForce.forwarding().services(),
        change.forwarding().services(),
        Subject.OfService::new,
        ConfigurationDifferences::fieldsOf,
        "requests that run end as they are; their retries keep to no slow-start rate",
        differences);
    change
        .forwarding()
        .limits()
        .ifPresent(
            limits ->
                differences.add(
                    new Difference.Changed(
                        new Subject.OfLimits(),
                        fieldsOf(inForce.forwarding().limits(), limits),
                        "requests that were read are not affected")));
    return differences;
  }

  /** Returns the error of a document that control hosts would not put in force by its version. */
  public static Optional<Finding> checkVersion(
      ConfigurationDocument inForce, ConfigurationDocument next) {
    return next.isNewerThan(inForce)
        ? Optional.empty()
        : Optional.of(
            new Finding.Refusal(
                new Subject.Whole(),
                Field.VERSION,
                "version "
                    + next.version()
                    + " does not replace version "
                    + inForce.version()
                    + ", which is in force; give a version above "
                    + inForce.version()));
  }

  private static <K extends Comparable<K>, V> void collect(
      Map<K, V> inForce,
      Map<K, Optional<V>> changes,
      Function<K, Subject> subject,
      BiFunction<V, V, Set<Field>> fields,
      String removal,
      List<Difference> differences) {
    new TreeMap<>(changes)
        .forEach(
            (key, value) -> {
              V before = inForce.get(key);
              if (value.isEmpty()) {
                differences.add(new Difference.Removed(subject.apply(key), removal));
              } else if (before == null) {
                differences.add(
                    new Difference.Added(subject.apply(key), "no effect on requests that run"));
              } else {
                Set<Field> changed = fields.apply(before, value.get());
                differences.add(
                    new Difference.Changed(
                        subject.apply(key), changed, effect(subject.apply(key), changed)));
              }
            });
  }

  private static String effect(Subject subject, Set<Field> changed) {
    return switch (subject) {
      case Subject.OfCustomer _ ->
          changed.contains(Field.KEYS)
              ? KEEPS + "; new ones with a withdrawn key are refused"
              : KEEPS;
      case Subject.OfRoute _ -> KEEPS;
      case Subject.OfService _ ->
          "attempts that run end as they are; retries of running requests use the new values";
      case Subject.Whole _, Subject.OfRegion _, Subject.OfLimits _ -> KEEPS;
    };
  }

  private static Set<Field> fieldsOf(Customer before, Customer after) {
    Set<Field> fields = EnumSet.noneOf(Field.class);
    compare(Field.KEYS, before, after, Customer::keys, fields);
    compare(Field.RATE, before, after, c -> c.limit().tokensPerSecond(), fields);
    compare(Field.BURST, before, after, c -> c.limit().burstTokens(), fields);
    compare(Field.REGIONS, before, after, Customer::boundTo, fields);
    compare(Field.PRIORITY, before, after, Customer::rank, fields);
    compare(Field.PLAIN_TOKENS, before, after, Customer::tokensPerPlainCall, fields);
    return fields;
  }

  private static Set<Field> fieldsOf(ForwardRoute before, ForwardRoute after) {
    Set<Field> fields = EnumSet.noneOf(Field.class);
    compare(Field.HOST, before, after, ForwardRoute::host, fields);
    compare(Field.PATH_PREFIX, before, after, ForwardRoute::pathPrefix, fields);
    compare(Field.RETRY_SEMANTICS, before, after, ForwardRoute::retrySemantics, fields);
    compare(Field.TIMEOUT, before, after, ForwardRoute::timeout, fields);
    compare(Field.LATENCY_TARGET, before, after, ForwardRoute::latencyTarget, fields);
    compare(Field.PRIORITY, before, after, ForwardRoute::rank, fields);
    compare(Field.SERVICES, before, after, ForwardRoute::split, fields);
    compare(Field.ATTEMPTS, before, after, ForwardRoute::maxAttempts, fields);
    compare(Field.ANONYMOUS, before, after, ForwardRoute::anonymous, fields);
    compare(Field.PROMPT_CACHE, before, after, ForwardRoute::cachesPrompts, fields);
    compare(Field.REGIONS, before, after, ForwardRoute::boundTo, fields);
    return fields;
  }

  private static Set<Field> fieldsOf(ForwardService before, ForwardService after) {
    Set<Field> fields = EnumSet.noneOf(Field.class);
    compare(Field.HEALTH_PATH, before, after, ForwardService::healthPath, fields);
    compare(Field.CONNECTIONS, before, after, ForwardService::maxConnections, fields);
    compare(Field.SLOW_START, before, after, ForwardService::slowStartPeriod, fields);
    compare(Field.SLOW_START, before, after, ForwardService::slowStartRequestsPerSecond, fields);
    return fields;
  }

  private static Set<Field> fieldsOf(CallerLimits before, CallerLimits after) {
    Set<Field> fields = EnumSet.noneOf(Field.class);
    compare(Field.HEADER_BYTES, before, after, CallerLimits::maxHeaderBytes, fields);
    compare(Field.BODY_BYTES, before, after, CallerLimits::maxBodyBytes, fields);
    compare(Field.HEADER_TIMEOUT, before, after, CallerLimits::headerTimeout, fields);
    compare(Field.IDLE_TIMEOUT, before, after, CallerLimits::idleTimeout, fields);
    return fields;
  }

  private static <T> void compare(
      Field field, T before, T after, Function<T, Object> value, Set<Field> fields) {
    if (!Objects.equals(value.apply(before), value.apply(after))) {
      fields.add(field);
    }
  }
}
