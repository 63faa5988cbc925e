package org.cuminwell.core.consensus;

import java.util.Set;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/**
 * Marks a host that takes part in founding a new cluster: its disk was empty, its operator asked
 * for it, and its log does not tell yet who votes. The first leader needs the votes of all founding
 * hosts, and a host of an existing cluster refuses to vote for a founding one. So a host that has
 * lost its disk can't found a second cluster, even if its settings still say so. Immutable and
 * thread safe.
 *
 * @param voters the hosts that found the cluster, as the settings of the first start name them
 * @param addresses the peer addresses of control hosts in those settings; later ones may name
 *     others
 */
public record Founding(Set<HostId> voters, Set<HostAddress> addresses) {

  /** Copies the sets. */
  public Founding {
    voters = Set.copyOf(voters);
    addresses = Set.copyOf(addresses);
  }
}
