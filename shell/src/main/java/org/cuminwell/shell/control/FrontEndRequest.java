package org.cuminwell.shell.control;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes.AgeBounds;

/**
 * Holds a request to an additional front end. Immutable and thread safe.
 *
 * @param age bounds the age of the request, by the control host's clock
 * @param callerCheck looks for a moment for the end of the connection, which is the sign of a
 *     caller that has given its request up; the stage never fails, and tells whether the connection
 *     is open
 */
public record FrontEndRequest(
    RequestMessage message, AgeBounds age, Supplier<CompletionStage<Boolean>> callerCheck) {}
