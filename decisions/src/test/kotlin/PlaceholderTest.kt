package org.almondjunction.decisions

import kotlin.test.Test

class PlaceholderTest {
    @Test
    fun runs() = Unit
}
