package org.cuminwell.core.model;

/** Says where a host or endpoint stands. Immutable and thread safe. */
public record Place(RegionId region, DataCentreId dataCentre) {}
