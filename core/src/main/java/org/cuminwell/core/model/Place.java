package org.cuminwell.core.model;

/** Identifies the region and data centre of a host or endpoint. Immutable and thread safe. */
public record Place(RegionId region, DataCentreId dataCentre) {}
