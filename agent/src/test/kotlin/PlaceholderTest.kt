package org.almondjunction.agent

import kotlin.test.Test

class PlaceholderTest {
    @Test
    fun runs() = Unit
}
