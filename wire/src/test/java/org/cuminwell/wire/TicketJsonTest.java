package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.ValidationError;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TicketJsonTest {

  private static final TicketNumber NUMBER = new TicketNumber(7);

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{'schema':1,'customers':{'a':{'keys':['k'],'tokens_per_second':1,'burst_tokens':2}}}",
        "{'schema':1,'customers':{'a':null}}",
        "{'schema':1,'routes':{'r':{'model':'m','bound_to':['x'],'timeout_ms':5}}}",
        "{'schema':1,'routes':{'r':{'service':'s','repeatable_methods':['GET'],'open_as':'a'}}}",
        "{'schema':1,'regions':{'x':{'data_centres':['d1','d2']}}}",
        "{'schema':1,'rollouts':{'r':{'from':'v1','to':'v2','deadline':'2030-01-01T00:00:00Z'}}}",
      })
  void writtenTicketIsReadBackEqual(String json) {
    Ticket ticket = readValid(json);

    byte[] written = TicketJson.write(ticket).toString().getBytes(StandardCharsets.UTF_8);

    assertThat(TicketJson.read(NUMBER, written)).isEqualTo(new TicketJson.Result.Read(ticket));
  }

  @ParameterizedTest(name = "{0} names {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "[]                                                                 | ''",
        "{'schema':2}                                                       | schema",
        "{'customers':{}}                                                   | schema",
        "{'schema':1,'clients':{}}                                          | clients",
        "{'schema':1,'customers':{'a':{'keys':['k'],'burst_tokens':2}}}     | customers.a.tokens_per_second",
        "{'schema':1,'customers':{'a':{'tokens_per_second':-1,'burst_tokens':2}}} | customers.a.tokens_per_second",
        "{'schema':1,'customers':{'a b':null}}                              | customers.a b",
        "{'schema':1,'routes':{'r':{}}}                                     | routes.r",
        "{'schema':1,'routes':{'r':{'model':'m','service':'s'}}}            | routes.r",
        "{'schema':1,'routes':{'r':{'model':'m','hops':2}}}                 | routes.r.hops",
        "{'schema':1,'rollouts':{'r':{'from':'v1','to':'v1','deadline':'2030-01-01T00:00:00Z'}}} | rollouts.r",
        "{'schema':1,'rollouts':{'r':{'from':'v1','to':'v2','deadline':'soon'}}} | rollouts.r",
        "{'schema':1,'rollouts':{'r':{'from':'v1','to':'v2','deadline':'+999999999-01-01T00:00:00Z'}}} | rollouts.r",
      })
  void faultyTicketNamesThePath(String json, String path) {
    assertThat(TicketJson.read(NUMBER, bytes(json)))
        .isInstanceOfSatisfying(
            TicketJson.Result.Faulty.class,
            faulty -> assertThat(faulty.faults()).extracting(ValidationError::path).contains(path));
  }

  private static Ticket readValid(String json) {
    return ((TicketJson.Result.Read) TicketJson.read(NUMBER, bytes(json))).ticket();
  }

  private static byte[] bytes(String json) {
    return json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }
}
