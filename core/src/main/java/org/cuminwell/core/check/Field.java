package org.cuminwell.core.check;

/** Names a field of an entry, whatever the document calls it. */
public enum Field {
  /** The entry as a whole. */
  ENTRY("entry"),
  /** The number that orders documents. */
  VERSION("version"),
  /** The keys of a customer. */
  KEYS("keys"),
  /** The sustained rate of a customer. */
  RATE("rate"),
  /** The tokens that a customer may use at once. */
  BURST("burst"),
  /** The tokens charged for a plain call. */
  PLAIN_TOKENS("tokens per plain call"),
  /** The regions that requests must stay in. */
  REGIONS("regions"),
  /** The priority of a customer or route. */
  PRIORITY("priority"),
  /** The host name of a route. */
  HOST("host"),
  /** The path prefix of a route. */
  PATH_PREFIX("path prefix"),
  /** Whether requests of a route may run more than once. */
  RETRY_SEMANTICS("retry semantics"),
  /** The longest time of a request. */
  TIMEOUT("timeout"),
  /** The target for the first byte. */
  LATENCY_TARGET("latency target"),
  /** The service or the weighted services of a route. */
  SERVICES("services"),
  /** The largest number of attempts. */
  ATTEMPTS("attempts"),
  /** Whether requests need no key, or for whom such requests run. */
  ANONYMOUS("anonymous"),
  /** Whether endpoints cache prompts. */
  PROMPT_CACHE("prompt cache"),
  /** The path of the health check. */
  HEALTH_PATH("health path"),
  /** The largest number of connections to an endpoint. */
  CONNECTIONS("connections"),
  /** The period and the rate of the slow start. */
  SLOW_START("slow start"),
  /** The data centres of a region. */
  DATA_CENTRES("data centres"),
  /** The largest size of a request's headers. */
  HEADER_BYTES("header bytes"),
  /** The largest size of a request body. */
  BODY_BYTES("body bytes"),
  /** The longest time until the headers have arrived. */
  HEADER_TIMEOUT("header timeout"),
  /** The longest time that a connection may stay without a request. */
  IDLE_TIMEOUT("idle timeout");

  private final String label;

  Field(String label) {
    this.label = label;
  }

  /** Returns the name of the field in texts for people. */
  public String label() {
    return label;
  }
}
