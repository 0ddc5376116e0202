package org.almondjunction.bench

internal const val PLACEHOLDER: Int = 1
