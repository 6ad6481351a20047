package org.lovagegrade.core;

/**
 * An instance that runs tasks under leases.
 *
 * @param id the worker's id
 * @param failureDomain the failure domain that it stands in
 * @param rack the rack that it stands in
 * @param capacity what it has
 */
public record Worker(String id, String failureDomain, String rack, Resources capacity) {}
