package org.almondjunction.keeper

/** Place for the crashes of one engine that outlives all processes. */
public interface CrashStore {
    /** Returns the stored crashes, none if nothing is stored; null if the store did not answer. */
    public suspend fun read(): List<EngineCrash>?

    /** Replaces the stored crashes; returns whether the store has accepted that. */
    public suspend fun write(crashes: List<EngineCrash>): Boolean
}
