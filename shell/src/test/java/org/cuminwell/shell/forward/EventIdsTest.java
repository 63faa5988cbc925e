package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which event id a stream is resumed after. */
final class EventIdsTest {

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "'id: 1|data: x||', 1",
    "'id: 1|data: x||id: 2|data: y||', 2",
    "'data: x|id:7||', 7",
    "'id: 3|data: x||data: y||', 3",
    "'data: id: 9||', ",
    "'data: x||', ",
    "'', ",
  })
  void findsLastId(String events, String id) {
    byte[] bytes = events.replace('|', '\n').getBytes(StandardCharsets.UTF_8);
    assertThat(EventIds.findLast(bytes).orElse(null)).isEqualTo(id);
    assertThat(EventIds.containsId(bytes)).isEqualTo(id != null);
  }
}
