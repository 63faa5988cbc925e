package org.cuminwell.shell.exchange;

/** Holds one header of a message with its name as it was sent. Immutable and thread safe. */
public record Header(String name, String value) {

  /** Returns whether this is the name of the header; names are compared without case. */
  public boolean is(String other) {
    return name.equalsIgnoreCase(other);
  }
}
