package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

class StreamContinuationTest {
    private class Case(
        val pattern: String,
        val origin: SoftwareVersion?,
        val listed: List<String?>,
        val expected: StreamContinuation,
    )

    private fun sameVersion(name: String?) = StreamContinuation.SameVersion(SoftwareVersion(name))

    private val cases =
        listOf(
            Case("one version", SoftwareVersion("1"), listOf("1"), sameVersion("1")),
            Case("two versions", SoftwareVersion("1"), listOf("1", "2"), sameVersion("1")),
            Case("its version is no longer listed", SoftwareVersion("1"), listOf("2"), sameVersion("1")),
            Case("begun at a target without a version", SoftwareVersion(null), listOf("2"), sameVersion(null)),
            Case("unknown, one version", null, listOf("1"), StreamContinuation.AnyTarget),
            Case("unknown, no targets", null, emptyList(), StreamContinuation.AnyTarget),
            Case("unknown, two versions", null, listOf("1", "2"), StreamContinuation.Impossible),
            Case("unknown, some targets without a version", null, listOf("1", null), StreamContinuation.Impossible),
        )

    // Guards against streams with events from two software versions of an engine (rule ORDER).
    @Test
    fun `a stream that its caller takes up goes on only at the version that began it`() =
        cases.forEach { case ->
            val listed = case.listed.map { SoftwareVersion(it) }.toSet()
            assertEquals(case.expected, StreamContinuation.of(case.origin, listed), case.pattern)
        }
}
