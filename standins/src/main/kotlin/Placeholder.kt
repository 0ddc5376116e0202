package org.almondjunction.standins

internal const val PLACEHOLDER: Int = 1
