package org.cuminwell.core.control;

import org.cuminwell.core.model.DataCentreId;

/** Identifies what an {@link OperatorOrder} is about. Immutable and thread safe. */
public sealed interface OrderSubject {

  /** Identifies the evacuation of a data centre. */
  record Evacuation(DataCentreId dataCentre) implements OrderSubject {}

  /** Identifies the rollouts of a service. */
  record Rollouts(String service) implements OrderSubject {}
}
