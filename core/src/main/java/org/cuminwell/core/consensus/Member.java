package org.cuminwell.core.consensus;

import java.util.Comparator;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/**
 * Identifies a control host together with its disk. A host that has lost its disk is another
 * member, since it may have forgotten votes and entries. Immutable and thread safe.
 *
 * @param address where other control hosts reach the host
 * @param incarnation a random number drawn for the disk while it was empty
 */
public record Member(HostId host, HostAddress address, long incarnation)
    implements Comparable<Member> {

  private static final Comparator<Member> ORDER =
      Comparator.comparing(Member::host)
          .thenComparingLong(Member::incarnation)
          .thenComparing(Member::address);

  /** Returns whether this is the host with the disk of that incarnation, at any address. */
  boolean is(HostId otherHost, long otherIncarnation) {
    return incarnation == otherIncarnation && host.equals(otherHost);
  }

  @Override
  public int compareTo(Member other) {
    return ORDER.compare(this, other);
  }
}
