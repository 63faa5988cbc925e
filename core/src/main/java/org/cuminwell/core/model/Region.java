package org.cuminwell.core.model;

import java.util.Set;

/** Lists the data centres of a region. Immutable and thread safe. */
public record Region(RegionId id, Set<DataCentreId> dataCentres) {

  /** Copies the set. */
  public Region {
    dataCentres = Set.copyOf(dataCentres);
  }
}
