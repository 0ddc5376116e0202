package org.almondjunction.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class PromptPartsTest {
    private fun shared(text: String) = PromptParts.parse(text).shared

    @Test
    fun `shared parts are the same wherever they stand and never contain the last part`() {
        val (first, second) = shared("a:1,b:2,own:3")
        assertEquals(listOf(second, first), shared("b:9,a:1,other:3"))
        assertNotEquals(first, second)
        listOf("" to 0, "own:1" to 0, "a:1,own:1" to 1, "a:1,b:x,own:1" to 0, "a:1," to 0).forEach { (text, count) ->
            assertEquals(count, shared(text).size, text)
        }
    }

    // Guards against a part that requests share and that is taken for the last one, of which fewer ends are enough.
    @Test
    fun `the last part is known wherever it stands unless the list is malformed`() {
        val own = PromptParts.parse("own:1").last?.part
        assertEquals(own, PromptParts.parse("a:1,b:2,own:3").last?.part)
        val long = PromptParts.parse((0..5_000).joinToString(",") { "$it:1" } + ",own:1")
        assertEquals(own to 5_001, long.last?.part to long.last?.position)
        assertEquals(long.shared + listOf(own), long.suspectable)
        listOf("", "a:1,b:x,own:1", "a:1,").forEach { assertEquals(null, PromptParts.parse(it).last, it) }
    }

    @Test
    fun `the number of shared parts is limited`() {
        val parts = PromptParts.parse((0..5_000).joinToString(",") { "$it:1" })
        assertEquals(5_001, parts.size)
        assertEquals(64, parts.shared.size)
    }
}
