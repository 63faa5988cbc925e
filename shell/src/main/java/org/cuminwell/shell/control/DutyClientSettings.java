package org.cuminwell.shell.control;

import org.cuminwell.core.duty.DutySettings;
import org.cuminwell.core.model.HostAddress;

/**
 * Holds the duties of a control host and how their calls are made. Immutable and thread safe.
 *
 * @param api the address of the platform's API
 */
public record DutyClientSettings(HostAddress api, DutySettings duties, DutyCallFormat format) {}
