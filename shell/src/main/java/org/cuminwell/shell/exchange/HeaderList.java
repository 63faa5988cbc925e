package org.cuminwell.shell.exchange;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Holds the headers of a message in their order.
 *
 * <p>Names are compared without case, and a name may occur several times. Immutable and thread
 * safe.
 */
public final class HeaderList implements Iterable<Header> {

  private static final HeaderList EMPTY = new HeaderList(List.of());

  private final List<Header> headers;

  private HeaderList(List<Header> headers) {
    this.headers = headers;
  }

  /** Returns a list without headers. */
  public static HeaderList of() {
    return EMPTY;
  }

  /** Returns a list of one header. */
  public static HeaderList of(String name, String value) {
    return new HeaderList(List.of(new Header(name, value)));
  }

  /** Returns a list of the given headers. */
  public static HeaderList copyOf(List<Header> headers) {
    return new HeaderList(List.copyOf(headers));
  }

  /** Returns the value of the first header of the name, without surrounding white space. */
  public Optional<String> first(String name) {
    for (Header header : headers) {
      if (header.is(name)) {
        return Optional.of(header.value().strip());
      }
    }
    return Optional.empty();
  }

  /** Returns whether there is a header of the name. */
  public boolean contains(String name) {
    return first(name).isPresent();
  }

  /** Returns these headers and one more at the end. */
  public HeaderList with(String name, String value) {
    List<Header> extended = new ArrayList<>(headers.size() + 1);
    extended.addAll(headers);
    extended.add(new Header(name, value));
    return new HeaderList(List.copyOf(extended));
  }

  /** Returns these headers without those of the name. */
  public HeaderList without(String name) {
    return filter(header -> !header.is(name));
  }

  /** Returns the headers that the predicate accepts. */
  public HeaderList filter(Predicate<Header> predicate) {
    return new HeaderList(headers.stream().filter(predicate).toList());
  }

  @Override
  public Iterator<Header> iterator() {
    return headers.iterator();
  }

  @Override
  public String toString() {
    return headers.toString();
  }
}
