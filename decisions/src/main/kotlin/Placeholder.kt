package org.almondjunction.decisions

internal const val PLACEHOLDER: Int = 1
