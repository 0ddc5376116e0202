package org.almondjunction.decisions

import org.almondjunction.decisions.StoreEra.Observation.CURRENT
import org.almondjunction.decisions.StoreEra.Observation.OUTDATED
import org.almondjunction.decisions.StoreEra.Observation.RISEN
import kotlin.test.Test
import kotlin.test.assertEquals

class StoreEraTest {
    // Guards against revisions of one era that are used in another, and against a late answer of an earlier era.
    @Test
    fun `only a higher era than any before is a rise, and an earlier one is outdated`() {
        listOf(
            listOf<Long?>(3, 3, 4, 3, 4, 9, 8) to listOf(CURRENT, CURRENT, RISEN, OUTDATED, CURRENT, RISEN, OUTDATED),
            listOf<Long?>(null, 2, null, 1, 3) to listOf(CURRENT, CURRENT, CURRENT, OUTDATED, RISEN),
            listOf<Long?>(0, 1) to listOf(CURRENT, RISEN),
            listOf<Long?>(null, null) to listOf(CURRENT, CURRENT),
        ).forEach { (answers, expected) ->
            val era = StoreEra()
            assertEquals(expected, answers.map { era.observe(it) }, "$answers")
            assertEquals(answers.filterNotNull().maxOrNull(), era.current, "$answers")
        }
    }
}
