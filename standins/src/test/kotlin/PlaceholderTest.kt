package org.almondjunction.standins

import kotlin.test.Test

class PlaceholderTest {
    @Test
    fun runs() = Unit
}
