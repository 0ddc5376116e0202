package org.almondjunction.entry

import kotlin.test.Test

class PlaceholderTest {
    @Test
    fun runs() = Unit
}
