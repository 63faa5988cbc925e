package org.cuminwell.shell.control;

import java.nio.file.Path;
import java.util.Set;
import org.cuminwell.core.model.HostId;

/**
 * Holds the checked settings of the agreement. Immutable and thread safe.
 *
 * @param data the folder that keeps the journal
 * @param voters the control hosts that vote; one that does not, only tells what it hears
 * @param bootstrap whether an empty data folder may found a new cluster; otherwise the host joins
 *     the cluster that there is
 */
public record AgreementSettings(Path data, Set<HostId> voters, boolean bootstrap) {

  /** Copies the set. */
  public AgreementSettings {
    voters = Set.copyOf(voters);
  }

  AgreementSettings withVoters(Set<HostId> others) {
    return new AgreementSettings(data, others, bootstrap);
  }
}
