package org.almondjunction.common

import kotlin.test.Test
import kotlin.test.assertFalse

class OutcomeTest {
    // Guards against clients that repeat a request because of its status, although it may have run.
    @Test
    fun `no status of an unknown outcome states that the request has not run`() =
        UnknownReason.entries.forEach { assertFalse(it.httpStatus in RefusalStatus, "${it.code}: ${it.httpStatus}") }
}
