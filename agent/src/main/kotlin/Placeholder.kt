package org.almondjunction.agent

internal const val PLACEHOLDER: Int = 1
