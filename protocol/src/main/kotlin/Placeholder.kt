package org.almondjunction.protocol

internal const val PLACEHOLDER: Int = 1
