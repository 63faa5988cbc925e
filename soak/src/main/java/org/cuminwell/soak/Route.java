package org.cuminwell.soak;

import java.time.Duration;

/** Lists the routes of the configuration, one for each way in which requests may be repeated. */
enum Route {
  CHAT("chat", "streaming", true, "engine", Duration.ofSeconds(15), Duration.ofMillis(800), 2),
  REPORT("report", "streaming", false, "engine", Duration.ofSeconds(5), Duration.ofSeconds(1), 1),
  RESERVE("reserve", "unsafe", false, "desk", Duration.ofSeconds(5), Duration.ofMillis(321), 1),
  LOOK("look", "safe", false, "desk", Duration.ofSeconds(5), Duration.ofMillis(321), 2);

  private final String label;
  private final String kind;
  private final boolean resumable;
  private final String service;
  private final Duration timeout;
  private final Duration target;
  private final int maxAttempts;

  Route(
      String label,
      String kind,
      boolean resumable,
      String service,
      Duration timeout,
      Duration target,
      int maxAttempts) {
    this.label = label;
    this.kind = kind;
    this.resumable = resumable;
    this.service = service;
    this.timeout = timeout;
    this.target = target;
    this.maxAttempts = maxAttempts;
  }

  String path() {
    return "/" + label + "/";
  }

  String service() {
    return service;
  }

  Duration timeout() {
    return timeout;
  }

  boolean isStream() {
    return kind.equals("streaming");
  }

  /** Returns whether a request may run more than once. */
  boolean isRepeatable() {
    return resumable || kind.equals("safe");
  }

  /** Returns the route as the configuration document names it. */
  String toJson(String host) {
    return """
        {"name":"r-%s","host":"%s","pathPrefix":"%s","kind":"%s","timeoutMs":%d,\
        "targetLatencyMs":%d,"priority":1,"service":"%s","maxAttempts":%d,"anonymous":false,\
        "sticky":false,"resumable":%b,"gapTargetMs":600,"homeRegions":[]}"""
        .formatted(
            label,
            host,
            path(),
            kind,
            timeout.toMillis(),
            target.toMillis(),
            service,
            maxAttempts,
            resumable);
  }

  static Route ofPath(String path) {
    for (Route route : values()) {
      if (path.startsWith(route.path())) {
        return route;
      }
    }
    throw new IllegalArgumentException("no route has the path " + path);
  }
}
