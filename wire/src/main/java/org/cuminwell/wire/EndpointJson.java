package org.cuminwell.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.LoadReport;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.ticket.ValidationError;

/** Reads what endpoints tell of themselves. Stateless and thread safe. */
public final class EndpointJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private EndpointJson() {}

  /** Says which endpoint leaves. Immutable and thread safe. */
  public record Leave(EndpointId endpoint, long incarnation) {}

  /**
   * Reads an announcement.
   *
   * @throws WireFormatException if it is not valid; the message names every fault
   */
  public static Announcement readAnnouncement(byte[] json) throws WireFormatException {
    return read(
        json,
        in ->
            new Announcement(
                new EndpointId(in.requiredText("endpoint")),
                in.requiredLong("incarnation", 0),
                new Place(
                    new RegionId(in.requiredText("region")),
                    new DataCentreId(in.requiredText("data_centre"))),
                HostAddress.parse(in.requiredText("address")),
                in.names("services", Function.identity()),
                new VersionId(in.requiredText("version")),
                Math.toIntExact(in.requiredLong("capacity", 1)),
                Duration.ofMillis(in.requiredLong("ttl_ms", 1)),
                in.flag("checks_fencing")));
  }

  /**
   * Reads a load report.
   *
   * @throws WireFormatException if it is not valid; the message names every fault
   */
  public static LoadReport readLoad(byte[] json) throws WireFormatException {
    return read(
        json,
        in ->
            new LoadReport(
                new EndpointId(in.requiredText("endpoint")),
                in.requiredLong("incarnation", 0),
                in.requiredLong("sequence", 0),
                Math.toIntExact(in.requiredLong("running", 0)),
                Math.toIntExact(in.requiredLong("queued", 0))));
  }

  /**
   * Reads a notice that an endpoint leaves.
   *
   * @throws WireFormatException if it is not valid; the message names every fault
   */
  public static Leave readLeave(byte[] json) throws WireFormatException {
    return read(
        json,
        in ->
            new Leave(
                new EndpointId(in.requiredText("endpoint")), in.requiredLong("incarnation", 0)));
  }

  private static <T> T read(byte[] json, Function<JsonObjectReader, T> make)
      throws WireFormatException {
    List<ValidationError> faults = new ArrayList<>();
    try {
      JsonObjectReader reader = JsonObjectReader.root(MAPPER.readTree(json), faults);
      T value = make.apply(reader);
      reader.end();
      if (!faults.isEmpty()) {
        throw new WireFormatException(describe(faults));
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new WireFormatException("not valid JSON: " + e.getOriginalMessage(), e);
    } catch (IOException | IllegalArgumentException | ArithmeticException e) {
      String first = faults.isEmpty() ? String.valueOf(e.getMessage()) : describe(faults);
      throw new WireFormatException(first, e);
    }
  }

  private static String describe(List<ValidationError> faults) {
    return faults.stream()
        .map(fault -> fault.path() + " " + fault.message())
        .reduce((a, b) -> a + "; " + b)
        .orElse("");
  }
}
