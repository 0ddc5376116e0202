package org.almondjunction.entry

internal const val PLACEHOLDER: Int = 1
