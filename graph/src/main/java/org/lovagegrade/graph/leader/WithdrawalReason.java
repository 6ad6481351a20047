package org.lovagegrade.graph.leader;

/** Why a committed start is withdrawn before its worker confirms it. */
enum WithdrawalReason {
    /** The worker's capacity has shrunk below what its runs and committed starts need. */
    OVER_CAPACITY,
    /** The worker's failure domain was evacuated. */
    EVACUATED,
    /** The worker refused the start. */
    REFUSED
}
