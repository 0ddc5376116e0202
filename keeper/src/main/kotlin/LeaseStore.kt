package org.almondjunction.keeper

import org.almondjunction.decisions.LeaseAnswer
import org.almondjunction.decisions.LeaseCall

/** Access to the leases in the platform's store. */
public interface LeaseStore {
    /** Makes [call] on the lease [name]. */
    public suspend fun call(
        name: String,
        call: LeaseCall,
    ): LeaseAnswer
}
