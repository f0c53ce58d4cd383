"""Tenants: their keys, how current the keys are known to be, and their quotas."""

from .quota_metrics import QuotaRefusalReason
from .quotas import QuotaFleet, Quotas

__all__ = ["QuotaFleet", "QuotaRefusalReason", "Quotas"]
