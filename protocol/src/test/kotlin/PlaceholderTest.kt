package org.almondjunction.protocol

import kotlin.test.Test

class PlaceholderTest {
    @Test
    fun runs() = Unit
}
