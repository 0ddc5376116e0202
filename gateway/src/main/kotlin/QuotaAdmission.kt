package org.almondjunction.gateway

import org.almondjunction.decisions.QuotaAccount
import org.almondjunction.decisions.QuotaCharge

/** Whether the quota of its tenant lets a request run. */
internal sealed class QuotaAdmission {
    /** It may run; [refund] is to be called if no part of it was sent. */
    class Admitted(
        private val account: QuotaAccount?,
        private val charge: QuotaCharge?,
        private val refundCharge: (QuotaAccount, QuotaCharge) -> Unit,
    ) : QuotaAdmission() {
        fun refund() {
            if (account != null && charge != null) refundCharge(account, charge)
        }
    }

    /** The tenant is over its limit; units are available after [retryAfterMs]. */
    class OverLimit(
        val retryAfterMs: Long,
    ) : QuotaAdmission()

    /** No coordinator has answered in time. */
    class NoCoordinator(
        val retryAfterMs: Long,
    ) : QuotaAdmission()
}
