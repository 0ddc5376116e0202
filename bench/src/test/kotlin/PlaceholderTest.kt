package org.almondjunction.bench

import kotlin.test.Test

class PlaceholderTest {
    @Test
    fun runs() = Unit
}
