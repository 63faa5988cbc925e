package org.cuminwell.app.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminwell.app.check.CheckReport.ReportedDifference;
import org.cuminwell.app.check.CheckReport.ReportedFinding;
import org.cuminwell.core.check.ConfigurationChecker;
import org.cuminwell.core.check.ConfigurationDifferences;
import org.cuminwell.core.check.Difference;
import org.cuminwell.core.check.Field;
import org.cuminwell.core.check.Finding;
import org.cuminwell.core.check.Subject;
import org.cuminwell.core.check.TicketChecker;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.ValidationError;
import org.cuminwell.platform.ConfigurationDocuments;
import org.cuminwell.platform.ConfigurationDocuments.Result;
import org.cuminwell.platform.Regions;
import org.cuminwell.wire.TicketJson;
import org.cuminwell.wire.TicketPaths;

/**
 * Checks the text of a ticket or a configuration document.
 *
 * <p>Immutable and thread safe.
 */
public final class ConfigurationFileCheck {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The field that every ticket has and no document. */
  private static final String TICKET_FIELD = "schema";

  /** The number of a ticket is not in its file and has no part in its check. */
  private static final TicketNumber ANY_NUMBER = new TicketNumber(1);

  private final ConfigurationDocuments documents;
  private final boolean strict;

  /**
   * Creates a check.
   *
   * @param regions the regions of the deployment; empty if they are not known
   * @param strict whether warnings fail the check
   */
  public ConfigurationFileCheck(Regions regions, boolean strict) {
    this.documents = new ConfigurationDocuments(regions);
    this.strict = strict;
  }

  /** Reads the answer of a control host about the document in force. */
  public Result readInForce(int status, byte[] body) {
    return documents.readInForce(status, body);
  }

  /**
   * Returns what was found in the text.
   *
   * @param inForce the document in force, if it is known; it is compared with documents only
   * @param now the time against which deadlines are checked
   * @throws UnreadableFileException if the text is not a document or ticket at all
   */
  public CheckReport check(byte[] text, Optional<Result.Read> inForce, Instant now)
      throws UnreadableFileException {
    requireText(text);
    return isTicket(text) ? checkTicket(text, now) : checkDocument(text, inForce);
  }

  private CheckReport checkDocument(byte[] text, Optional<Result.Read> inForce)
      throws UnreadableFileException {
    return switch (documents.read(text)) {
      case Result.Unreadable r -> throw new UnreadableFileException(r.message());
      case Result.Refused r -> new CheckReport("document", errors(r.errors()), Optional.empty());
      case Result.Read r -> {
        List<Finding> findings = new ArrayList<>();
        inForce
            .flatMap(old -> ConfigurationDifferences.checkVersion(old.document(), r.document()))
            .ifPresent(findings::add);
        findings.addAll(r.findings());
        findings.addAll(ConfigurationChecker.check(r.content()));
        yield new CheckReport(
            "document",
            findings.stream().map(f -> reported(f, r.paths().of(f.subject(), f.field()))).toList(),
            inForce.map(old -> differences(old, r)));
      }
    };
  }

  private static List<ReportedDifference> differences(Result.Read inForce, Result.Read next) {
    return ConfigurationDifferences.between(inForce.content(), next.content()).stream()
        .map(ConfigurationFileCheck::reported)
        .toList();
  }

  private CheckReport checkTicket(byte[] text, Instant now) {
    return switch (TicketJson.read(ANY_NUMBER, text)) {
      case TicketJson.Result.Faulty r ->
          new CheckReport("ticket", errors(r.faults()), Optional.empty());
      case TicketJson.Result.Read r -> {
        Ticket ticket = r.ticket();
        List<ReportedFinding> findings =
            new ArrayList<>(errors(TicketChecker.findErrors(ticket, now)));
        TicketChecker.check(ticket).stream()
            .map(f -> reported(f, TicketPaths.of(f.subject(), f.field())))
            .forEach(findings::add);
        yield new CheckReport("ticket", findings, Optional.empty());
      }
    };
  }

  private List<ReportedFinding> errors(List<ValidationError> errors) {
    return errors.stream().map(this::reported).toList();
  }

  private ReportedFinding reported(ValidationError error) {
    Finding finding = new Finding.Refusal(new Subject.Whole(), Field.ENTRY, error.message());
    return reported(finding, error.path());
  }

  private ReportedFinding reported(Finding finding, String path) {
    return new ReportedFinding(finding.severity(), finding.fails(strict), path, finding.message());
  }

  private static ReportedDifference reported(Difference difference) {
    List<String> fields =
        switch (difference) {
          case Difference.Added _, Difference.Removed _ -> List.of();
          case Difference.Changed d -> d.fields().stream().map(Field::label).sorted().toList();
        };
    return new ReportedDifference(
        difference.kind(),
        difference.subject().kind(),
        difference.subject().name(),
        fields,
        difference.effect());
  }

  /** Returns whether the text is a JSON object with the field that every ticket has. */
  public static boolean isTicket(byte[] text) {
    try {
      JsonNode root = MAPPER.readTree(text);
      return root != null && root.has(TICKET_FIELD);
    } catch (IOException e) {
      // The reader of documents reports what is wrong, and where.
      return false;
    }
  }

  private static void requireText(byte[] bytes) throws UnreadableFileException {
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
    } catch (CharacterCodingException e) {
      throw new UnreadableFileException("not text in UTF-8");
    }
  }
}
