package org.cuminwell.shell.control;

import java.nio.file.Path;
import java.util.Set;
import org.cuminwell.core.model.HostId;

/**
 * Holds the validated settings of the consensus among the control hosts. Immutable and thread safe.
 *
 * @param dataFolder the folder that holds the journal
 * @param voters the control hosts that vote; a host that is not among them does not vote and only
 *     passes on the state it receives
 * @param bootstrap whether a host with an empty data folder founds a new cluster; otherwise it
 *     joins the existing one
 */
public record AgreementSettings(Path dataFolder, Set<HostId> voters, boolean bootstrap) {

  /** Copies the set. */
  public AgreementSettings {
    voters = Set.copyOf(voters);
  }

  /** Returns a copy of these settings with other voters. */
  AgreementSettings withVoters(Set<HostId> newVoters) {
    return new AgreementSettings(dataFolder, newVoters, bootstrap);
  }
}
