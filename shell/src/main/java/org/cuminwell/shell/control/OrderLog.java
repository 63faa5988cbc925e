package org.cuminwell.shell.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cuminwell.core.control.OperatorOrder;
import org.cuminwell.core.control.OrderDecision;
import org.cuminwell.core.control.OrderDecision.Outcome;

/** Writes the outcomes of operators' orders, one JSON object a line. Stateless and thread safe. */
final class OrderLog {

  private static final System.Logger LOG = System.getLogger("org.cuminwell.order");

  private OrderLog() {}

  static void write(OrderDecision decision) {
    LOG.log(System.Logger.Level.INFO, line(decision).toString());
  }

  static ObjectNode line(OrderDecision decision) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    putOutcome(decision.outcome(), line);
    switch (decision.order()) {
      case OperatorOrder.Evacuate o ->
          line.put("evacuates", o.evacuated()).put("data_centre", o.dataCentre().value());
      case OperatorOrder.BeginRollout o ->
          line.put("rolls_out", o.rollout().to().value()).put("service", o.rollout().service());
    }
    return line.put("age_ms", decision.age().toMillis()).put("took_ms", decision.took().toMillis());
  }

  private static void putOutcome(Outcome outcome, ObjectNode line) {
    switch (outcome) {
      case Outcome.CarriedOut _ -> line.put("order", "carried_out");
      case Outcome.Overtaken _ -> line.put("order", "overtaken");
      case Outcome.Failed o ->
          line.put("order", "failed")
              .put("verdict", o.failure().verdict().label())
              .put("why", o.failure().message());
    }
  }
}
