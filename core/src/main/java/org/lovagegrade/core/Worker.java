package org.lovagegrade.core;

/**
 * An instance that runs tasks under leases.
 *
 * @param id the worker's id
 * @param failureDomain its failure domain
 * @param rack its rack
 * @param capacity its total resources
 */
public record Worker(String id, String failureDomain, String rack, Resources capacity) {}
