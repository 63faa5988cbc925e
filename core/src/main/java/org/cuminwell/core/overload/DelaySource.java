package org.cuminwell.core.overload;

/** Lists where requests can be delayed within a gateway. */
public enum DelaySource {
  /** From the arrival of bytes until they are handled. */
  READING("reading"),
  /** From an event's entry into the ring of the deciding thread until it is handled. */
  DECIDING("deciding");

  private final String label;

  DelaySource(String label) {
    this.label = label;
  }

  /** Returns the name in log lines. */
  public String label() {
    return label;
  }
}
