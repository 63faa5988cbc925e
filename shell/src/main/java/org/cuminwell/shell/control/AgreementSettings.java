package org.cuminwell.shell.control;

import java.nio.file.Path;
import java.util.Set;
import org.cuminwell.core.model.HostId;

/**
 * Holds the validated settings of the consensus among the control hosts. Immutable and thread safe.
 *
 * @param dataFolder the folder that holds the journal
 * @param founders the control hosts that found a new cluster; later the log alone says who votes
 * @param bootstrap whether a host with an empty data folder founds a new cluster; otherwise it
 *     joins the existing one
 */
public record AgreementSettings(Path dataFolder, Set<HostId> founders, boolean bootstrap) {

  /** Copies the set. */
  public AgreementSettings {
    founders = Set.copyOf(founders);
  }
}
