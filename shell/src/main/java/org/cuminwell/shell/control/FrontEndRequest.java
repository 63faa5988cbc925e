package org.cuminwell.shell.control;

import java.time.Instant;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes.AgeBounds;

/**
 * Holds a request to an additional front end. Immutable and thread safe.
 *
 * @param receivedAt when its head had been received, by the control host's clock
 * @param age bounds the age of the request, by the same clock
 * @param disconnectCheck looks for a moment for the end of the connection, which is the sign of a
 *     caller that has given its request up; the stage never fails, and tells whether the connection
 *     is open
 */
public record FrontEndRequest(
    RequestMessage message,
    Instant receivedAt,
    AgeBounds age,
    Supplier<CompletionStage<Boolean>> disconnectCheck) {}
